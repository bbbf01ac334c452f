/** Commands that make calls to an entry, as callers do. */
package org.hawthornglade.app.caller;

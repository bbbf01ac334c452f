/** Commands that call an entry as a caller does. */
package org.hawthornglade.app.caller;

/** Commands that analyse the structured logs of entries. */
package org.hawthornglade.app.logs;

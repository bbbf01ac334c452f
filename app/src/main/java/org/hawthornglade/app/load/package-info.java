/** Open-loop load on the callers' protocol, and what became of each request. */
package org.hawthornglade.app.load;

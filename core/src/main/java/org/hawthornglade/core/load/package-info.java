/** Which models and adapters an instance loads next, how many loads run at once, and what is unloaded to make room. */
package org.hawthornglade.core.load;

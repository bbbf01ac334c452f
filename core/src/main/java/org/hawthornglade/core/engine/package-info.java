/** Status reports of engines and the orders sent to them. */
package org.hawthornglade.core.engine;

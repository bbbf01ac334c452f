/** What engines report and the orders they take. */
package org.hawthornglade.core.engine;

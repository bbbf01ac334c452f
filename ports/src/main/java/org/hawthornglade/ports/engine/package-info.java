/** Model engines: orders, state and inference. */
package org.hawthornglade.ports.engine;

/** Which models and adapters are on which engine: the decisions of the placement leader, without threads or sockets. */
package org.hawthornglade.core.replica;

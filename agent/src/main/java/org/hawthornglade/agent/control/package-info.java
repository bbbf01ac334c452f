/** The control connection: Thrift, called by entries. */
package org.hawthornglade.agent.control;

/** HTTP/1.1 on both sides over Netty: connections from callers and to endpoints, without a thread a call. */
package org.hawthornglade.gateway.http;

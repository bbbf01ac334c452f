/** HTTP/1.1 over Netty: connections from callers and to endpoints, without one thread per call. */
package org.hawthornglade.gateway.http;

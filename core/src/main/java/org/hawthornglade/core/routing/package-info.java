/** Choice of the endpoint that runs a request. */
package org.hawthornglade.core.routing;

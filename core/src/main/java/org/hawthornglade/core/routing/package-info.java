/** Which endpoint runs a request. */
package org.hawthornglade.core.routing;

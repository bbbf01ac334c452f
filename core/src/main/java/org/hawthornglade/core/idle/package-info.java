/** How long a model that runs no request stays loaded, and when it is loaded ahead of a request. */
package org.hawthornglade.core.idle;

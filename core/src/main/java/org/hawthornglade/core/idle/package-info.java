/** Policies for how long an idle model stays loaded and when it is pre-warmed ahead of a request. */
package org.hawthornglade.core.idle;

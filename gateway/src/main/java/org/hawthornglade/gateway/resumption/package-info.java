/** Lets streams that callers take up go on only at the version of a service's software that began them. */
package org.hawthornglade.gateway.resumption;

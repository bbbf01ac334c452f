/** At which version of a service's software a stream began, and so where it may go on. */
package org.hawthornglade.core.resumption;

/** Instances as the platform lists them. */
package org.hawthornglade.core.instance;

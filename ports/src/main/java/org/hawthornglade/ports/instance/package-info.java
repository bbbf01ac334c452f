/** The platform's list of instances. */
package org.hawthornglade.ports.instance;

/** Configurations, plans and assignments as rows of the table service. */
package org.hawthornglade.ports.configuration;

/** State charts kept in resource files and interpreted by the code. */
package org.hawthornglade.core.chart;

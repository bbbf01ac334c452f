/** State charts, which are defined in resource files and interpreted by the code. */
package org.hawthornglade.core.chart;

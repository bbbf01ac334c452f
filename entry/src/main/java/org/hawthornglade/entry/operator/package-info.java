/** The operators' HTTP interface: plans, confirms, status, explanations, drains and the merged time line. */
package org.hawthornglade.entry.operator;

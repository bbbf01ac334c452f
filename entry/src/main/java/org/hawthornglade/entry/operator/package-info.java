/** The HTTP interface for operators: plans, confirms, status, explanations, drains and the merged timeline. */
package org.hawthornglade.entry.operator;

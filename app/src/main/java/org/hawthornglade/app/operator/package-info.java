/** Commands for operators: plans, confirmation, status, explanations, drains and the timeline. */
package org.hawthornglade.app.operator;

/** Operators' commands. */
package org.hawthornglade.app.operator;

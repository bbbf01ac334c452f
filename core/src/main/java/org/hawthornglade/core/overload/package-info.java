/** Prediction of when waiting calls start, by which calls that would be late are refused early. */
package org.hawthornglade.core.overload;

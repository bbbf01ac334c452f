/** What operators state, and the plan that shows what it would change. */
package org.hawthornglade.core.plan;

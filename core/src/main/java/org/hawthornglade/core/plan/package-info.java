/** Operators' intents and the plans that show what confirming an intent would change. */
package org.hawthornglade.core.plan;

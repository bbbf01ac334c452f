/** Keeps parts of prompts that crash the instances which process them from reaching further instances. */
package org.hawthornglade.core.quarantine;

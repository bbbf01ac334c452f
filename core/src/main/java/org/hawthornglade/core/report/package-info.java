/** Reports between entries and agents: entries report demand, agents report replicas. */
package org.hawthornglade.core.report;

/** Teams: who owns a caller's key, at which priority its calls are served and within which quota. */
package org.hawthornglade.core.team;

package org.hawthornglade.app.load;

/**
 * Executions at plain services of the calls that must not run twice.
 *
 * @param executions number of executions of calls of this run
 * @param doubled number of idempotency keys that were executed more than once
 * @param untrueRefusals number of calls that were executed although the response reported them as not run
 * @param answeredWithoutRun number of calls with a successful response that were not executed
 */
record ExecutionReport(int executions, int doubled, int untrueRefusals, int answeredWithoutRun) {}

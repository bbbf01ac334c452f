package org.hawthornglade.app.load;

/**
 * What plain services ran of the calls that may not be repeated.
 *
 * @param executions how many calls of this run were run
 * @param doubled how many keys were run more than once
 * @param untrueRefusals how many calls ran although their caller was told that they had not
 * @param answeredWithoutRun how many calls were answered as a success without having run
 */
record ExecutionReport(int executions, int doubled, int untrueRefusals, int answeredWithoutRun) {}

package org.hawthornglade.app.check;

/**
 * One fault of a settings file.
 *
 * @param line the line, from 1; 0 if it is not known
 * @param path where, as a JSON pointer
 * @param message what is wrong
 */
public record SettingsFault(int line, String path, String message) {}

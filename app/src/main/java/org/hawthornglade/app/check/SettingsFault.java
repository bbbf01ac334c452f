package org.hawthornglade.app.check;

/**
 * One fault of a settings file.
 *
 * @param line the line number from 1; 0 if unknown
 * @param path the faulty value as a JSON pointer; may be empty
 * @param message describes the fault
 */
public record SettingsFault(int line, String path, String message) {}

package org.hawthornglade.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * The text of the engine's answers, which shows what it answers and in which run.
 *
 * <p>Token {@code i} is {@code i:PROMPT:RUN} and a blank, with the CRC-32 of the prompt and the run in hexadecimal
 * digits. So a reader can tell whether an answer is whole, to its own prompt, and out of one run.
 */
public final class AnswerText {
    private AnswerText() {}

    /** Returns one token. */
    public static String token(int index, String prompt, long run) {
        return token(index, promptChecksum(prompt), Long.toHexString(run));
    }

    static String token(int index, String promptMark, String runMark) {
        return index + ":" + promptMark + ":" + runMark + " ";
    }

    static String promptChecksum(String prompt) {
        CRC32 crc = new CRC32();
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /**
     * Returns whether a text is the whole answer to a prompt, out of one run.
     *
     * @param text the answer
     * @param prompt the prompt that was sent
     * @param tokens how many tokens it must have
     */
    public static boolean isComplete(String text, String prompt, int tokens) {
        String[] parts = text.isBlank() ? new String[0] : text.trim().split(" ", -1);
        if (parts.length != tokens) {
            return false;
        }
        String promptMark = promptChecksum(prompt);
        String runMark = parts.length == 0 ? "" : parts[0].substring(parts[0].lastIndexOf(':') + 1);
        for (int i = 0; i < parts.length; i++) {
            if (!parts[i].equals(token(i, promptMark, runMark).trim())) {
                return false;
            }
        }
        return true;
    }
}

package org.hawthornglade.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Generates and checks the text of the engine's answers, which identifies the prompt and the run.
 *
 * <p>Token {@code i} is {@code i:PROMPT:RUN} and a blank, with the CRC-32 of the prompt and the run number in
 * hexadecimal digits. A reader can therefore check that an answer is complete, belongs to its prompt and stems from a
 * single run.
 */
public final class AnswerText {
    private AnswerText() {}

    /** Returns one token. */
    public static String token(int index, String prompt, long run) {
        return token(index, promptChecksum(prompt), Long.toHexString(run));
    }

    static String token(int index, String promptChecksum, String runTag) {
        return index + ":" + promptChecksum + ":" + runTag + " ";
    }

    static String promptChecksum(String prompt) {
        CRC32 crc = new CRC32();
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /**
     * Returns whether a text is the complete answer to a prompt and stems from a single run.
     *
     * @param text the answer
     * @param prompt the prompt that was sent
     * @param tokens the expected number of tokens
     */
    public static boolean isComplete(String text, String prompt, int tokens) {
        String[] parts = text.isBlank() ? new String[0] : text.trim().split(" ", -1);
        if (parts.length != tokens) {
            return false;
        }
        String promptChecksum = promptChecksum(prompt);
        String runTag = parts.length == 0 ? "" : parts[0].substring(parts[0].lastIndexOf(':') + 1);
        for (int i = 0; i < parts.length; i++) {
            if (!parts[i].equals(token(i, promptChecksum, runTag).trim())) {
                return false;
            }
        }
        return true;
    }
}

package org.hawthornglade.gateway.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Derives the number of callers' connections from the descriptor limit of the process and from its heap. */
final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("(?m)^Max open files +([0-9]+)");
    /** Where the limit cannot be read, the smallest one of the machines of entries counts. */
    private static final int UNKNOWN_LIMIT = 2_212;
    /** Descriptors for files. */
    private static final int FILES = 200;
    /** The share of the limit that servers, the store and other entries need. */
    private static final int OUTBOUND_DIVISOR = 4;

    private static final int MIN_CONNECTIONS = 64;
    /** Heap of a connection without a request, by its upper estimate. */
    private static final int CONNECTION_BYTES = 16_384;

    private DescriptorLimit() {}

    /**
     * Returns how many connections of callers the process may have.
     *
     * @param statedDescriptors the descriptors that the settings allow; 0 if they state none
     */
    static int callerConnections(int statedDescriptors) {
        long descriptors = statedDescriptors > 0 ? statedDescriptors : openFiles();
        return callerConnections(descriptors, Runtime.getRuntime().maxMemory());
    }

    static int callerConnections(long openFiles, long heapBytes) {
        long available = openFiles - FILES - openFiles / OUTBOUND_DIVISOR;
        return (int) Math.max(MIN_CONNECTIONS, Math.min(available, heapBytes / CONNECTION_BYTES));
    }

    private static long openFiles() {
        try {
            Matcher matcher = OPEN_FILES.matcher(Files.readString(LIMITS));
            return matcher.find() ? Long.parseLong(matcher.group(1)) : UNKNOWN_LIMIT;
        } catch (IOException e) {
            return UNKNOWN_LIMIT;
        }
    }
}

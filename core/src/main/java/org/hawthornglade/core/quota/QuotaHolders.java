package org.hawthornglade.core.quota;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The entries that may use a share of the quotas without a leader, as kept in the lease row.
 *
 * @param divisor each of them holds at most {@link QuotaTimes#MAX_EVEN_SHARES} / divisor of a quota; at least 1
 * @param hashes the hashes of their names
 */
record QuotaHolders(int divisor, Set<Integer> hashes) {
    /** What stands in the row if the entries are not known, as in the row of an earlier version. */
    static final String UNKNOWN = "";

    /** Largest number of entries in the row, so that a renewal stays below 5 KB. */
    private static final int MAX_ENTRIES = 512;

    private static final int HASH_DIGITS = 8;
    private static final HexFormat HEX = HexFormat.of();

    /** Copies the set. */
    QuotaHolders {
        hashes = Set.copyOf(hashes);
    }

    static int hash(String entry) {
        CRC32 crc = new CRC32();
        crc.update(entry.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Returns the text for the lease row; {@link #UNKNOWN} if there are too many entries. */
    String encode() {
        if (hashes.size() > MAX_ENTRIES) {
            return UNKNOWN;
        }
        StringBuilder text = new StringBuilder().append(divisor).append(':');
        hashes.stream().sorted().forEach(hash -> text.append(HEX.toHexDigits(hash)));
        return text.toString();
    }

    /** Reads the text of a lease row; empty if it is unknown or unreadable. */
    static Optional<QuotaHolders> decode(String text) {
        int colon = text.indexOf(':');
        if (colon < 1 || (text.length() - colon - 1) % HASH_DIGITS != 0) {
            return Optional.empty();
        }
        try {
            int divisor = Integer.parseInt(text.substring(0, colon));
            Set<Integer> hashes = new HashSet<>();
            for (int i = colon + 1; i < text.length(); i += HASH_DIGITS) {
                hashes.add(HexFormat.fromHexDigits(text, i, i + HASH_DIGITS));
            }
            return divisor < 1 ? Optional.empty() : Optional.of(new QuotaHolders(divisor, hashes));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

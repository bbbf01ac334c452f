package org.hawthornglade.entry.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vavr.control.Either;
import java.net.URLDecoder;
import java.util.Locale;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * The path of a call to a plain service.
 *
 * <p>A path that the service might interpret differently from the entry is rejected, since it could reach an
 * at-most-once operation while the entry takes it for a repeatable one.
 *
 * @param raw the path as it is forwarded
 * @param decoded the decoded path, by which the operation is found
 */
record ServicePath(String raw, String decoded) {
    static Either<Failure, ServicePath> of(String raw) {
        String lower = raw.toLowerCase(Locale.ROOT);
        if (lower.contains("%2f") || lower.contains("%5c") || lower.contains("%25") || lower.contains("%00")) {
            return Either.left(ambiguous());
        }
        String decoded;
        try {
            decoded = URLDecoder.decode(raw.replace("+", "%2B"), UTF_8);
        } catch (IllegalArgumentException e) {
            return Either.left(ambiguous());
        }
        boolean ambiguous = decoded.contains("\\") || decoded.contains("//") || decoded.contains(";");
        return ambiguous || hasDotSegment(decoded)
                ? Either.left(ambiguous())
                : Either.right(new ServicePath(raw, decoded));
    }

    /** Returns whether the path starts with a prefix, compared by whole segments. */
    boolean isBelow(String prefix) {
        if (!decoded.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/") || decoded.length() == prefix.length() || decoded.charAt(prefix.length()) == '/';
    }

    private static boolean hasDotSegment(String path) {
        for (String segment : path.split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return false;
    }

    private static Failure ambiguous() {
        return Failure.of(ResultCode.BAD_REQUEST, "the path is ambiguous");
    }
}

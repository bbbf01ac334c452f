package org.hawthornglade.entry.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.CallerKey;
import org.hawthornglade.entry.OperatorToken;

/** Authenticates operators by their tokens, which are kept only as hashes. */
public final class OperatorTokens {
    private static final String BEARER = "Bearer ";

    private final Map<HashCode, OfficeId> offices = new HashMap<>();
    private final Set<HashCode> callers = new HashSet<>();

    /** Creates the tokens; the keys of callers serve to report a caller key used in place of a token. */
    public OperatorTokens(List<OperatorToken> tokens, List<CallerKey> keys) {
        tokens.forEach(token -> offices.put(hash(token.token()), OfficeId.of(token.office())));
        keys.forEach(key -> callers.add(hash(key.key())));
    }

    /**
     * Returns the office that a token belongs to.
     *
     * @param authorization the value of the Authorization header; null if there is none
     * @return left with MISSING_KEY, UNKNOWN_KEY or WRONG_CREDENTIAL_KIND
     */
    public Either<Failure, OfficeId> authenticate(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Either.left(Failure.of(
                    ResultCode.MISSING_KEY,
                    "this request needs the header Authorization: Bearer with an operator token"));
        }
        HashCode hash = hash(authorization.substring(BEARER.length()).strip());
        OfficeId office = offices.get(hash);
        if (office != null) {
            return Either.right(office);
        }
        if (callers.contains(hash)) {
            return Either.left(
                    Failure.of(ResultCode.WRONG_CREDENTIAL_KIND, "a caller key cannot be used as an operator token"));
        }
        return Either.left(Failure.of(ResultCode.UNKNOWN_KEY, "the operator token is not known"));
    }

    private static HashCode hash(String secret) {
        return Hashing.sha256().hashString(secret, UTF_8);
    }
}

package org.hawthornglade.entry.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.CallerKey;
import org.hawthornglade.entry.OperatorToken;

/**
 * Authenticates callers by their keys.
 *
 * <p>Only hashes of the keys are kept, which also makes the lookup time independent of how much of a key matches.
 */
public final class CallerKeys {
    private static final String BEARER = "Bearer ";

    private final Map<HashCode, Caller> callers = new HashMap<>();
    private final Set<HashCode> operators = new HashSet<>();

    /** Creates the keys; the tokens of operators serve to report a token used in place of a caller key. */
    public CallerKeys(List<CallerKey> keys, List<OperatorToken> tokens) {
        for (CallerKey key : keys) {
            callers.put(
                    hash(key.key()),
                    new Caller(OrganisationId.of(key.organisation()), ServiceClass.of(key.serviceClass())));
        }
        tokens.forEach(token -> operators.add(hash(token.token())));
    }

    /**
     * Returns the caller that a key belongs to.
     *
     * @param authorization the value of the Authorization header; null if there is none
     * @return left with MISSING_KEY, UNKNOWN_KEY or WRONG_CREDENTIAL_KIND
     */
    public Either<Failure, Caller> authenticate(String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Either.left(Failure.of(
                    ResultCode.MISSING_KEY, "this request needs the header Authorization: Bearer with a caller key"));
        }
        HashCode hash = hash(authorization.substring(BEARER.length()).strip());
        Caller caller = callers.get(hash);
        if (caller != null) {
            return Either.right(caller);
        }
        if (operators.contains(hash)) {
            return Either.left(
                    Failure.of(ResultCode.WRONG_CREDENTIAL_KIND, "an operator token cannot be used as a caller key"));
        }
        return Either.left(Failure.of(ResultCode.UNKNOWN_KEY, "the caller key is not known"));
    }

    private static HashCode hash(String secret) {
        return Hashing.sha256().hashString(secret, UTF_8);
    }
}

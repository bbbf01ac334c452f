package org.hawthornglade.entry.caller;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationHolder;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.entry.CallerKey;
import org.hawthornglade.entry.OperatorToken;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CallerInputsTest {
    private static final OrganisationId MILL = OrganisationId.of("mill");
    private static final ServiceName ORDERS = ServiceName.of("orders");
    private static final Caller CALLER = new Caller(MILL, ServiceClass.of("interactive"));
    private static final String SEED_BODY =
            "{\"model\":\"quote\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"h\\u00e9\"}]}";

    private final RequestFactory requests = new RequestFactory(holder(), new ManualClock(1), "r");

    /** A path that could reach the at-most-once operation must never be taken for the repeatable one. */
    @ParameterizedTest
    @CsvSource({
        "/stock, true",
        "/stock/7, true",
        "/confirm/7, false",
        "/%63onfirm/7, false",
        "/stockpile, UNKNOWN_OPERATION",
        "/stock/../confirm/7, BAD_REQUEST",
        "/stock/%2e%2e/confirm/7, BAD_REQUEST",
        "/stock/%2E./confirm/7, BAD_REQUEST",
        "/stock/%252e%252e/confirm/7, BAD_REQUEST",
        "/stock/..%2fconfirm, BAD_REQUEST",
        "/stock/..;/confirm, BAD_REQUEST",
        "/stock//confirm, BAD_REQUEST",
        "/stock\\..\\confirm, BAD_REQUEST",
        "/stock/%zz, BAD_REQUEST",
    })
    void findsTheOperationThatTheServiceWillRun(String path, String expected) {
        Either<Failure, OperationSpec> found =
                ServicePath.of(path).flatMap(read -> requests.findOperation(CALLER, ORDERS, "POST", read));
        String result =
                found.fold(failure -> failure.code().name(), operation -> String.valueOf(operation.idempotent()));
        assertThat(result).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'model':7,'messages':[{'role':'user'}]} | model",
                "{'model':'quote','messages':'hello'} | messages",
                "{'model':'quote','messages':[]} | messages",
                "{'model':'quote','messages':[{'content':'x'}]} | messages[0].role",
                "{'model':'quote','messages':[{'role':'user'}],'max_tokens':-5} | max_tokens",
                "{'model':'quote','messages':[{'role':'user'}],'max_tokens':1.5} | max_tokens",
                "{'model':'quote','messages':[{'role':'user'}],'max_completion_tokens':'9'} | max_completion_tokens",
                "{'model':'quote','messages':[{'role':'user'}],'stream':'yes'} | stream",
                "{'model':'quote','messages':[{'role':'user'}],'max_tokens':null} | ",
                "{'model':'quote','messages':[{'role':'user'}],'max_tokens':5} | ",
            })
    void reportsTheInvalidParameter(String body, String parameter) {
        Either<Failure, CompletionBody> read =
                CompletionBody.parse(body.replace('\'', '"').getBytes(UTF_8), true);
        Optional<String> wrong =
                read.isRight() ? Optional.empty() : read.getLeft().parameter();
        assertThat(wrong).isEqualTo(Optional.ofNullable(parameter));
        read.peekLeft(
                failure -> assertThat(ErrorBody.of(failure).error().param()).isEqualTo(parameter));
    }

    @ParameterizedTest
    @CsvSource({"400, malformed", "404, no such route", "405, no such route", "413, too large", "408, in time"})
    void describesErrorsRaisedByTheHttpServer(int status, String expected) {
        assertThat(HttpErrors.failure(status).message()).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({
        ", MISSING_KEY",
        "Basic eDp5, MISSING_KEY",
        "Bearer nobody, UNKNOWN_KEY",
        "Bearer office-token, WRONG_CREDENTIAL_KIND",
    })
    void rejectsUnknownCredentials(String header, String expected) {
        CallerKeys keys = new CallerKeys(
                List.of(new CallerKey("mill-key", "mill", "interactive")),
                List.of(new OperatorToken("office-token", "north")));
        assertThat(keys.authenticate(header).getLeft().code().name()).isEqualTo(expected);
        assertThat(keys.authenticate("Bearer mill-key").get()).isEqualTo(CALLER);
    }

    @Property(seed = "90125", tries = 3_000)
    void anyInputIsParsedOrRejectedAsNotRun(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = mutate(SEED_BODY.getBytes(UTF_8), random);
        assertNotRun(CompletionBody.parse(body, random.nextBoolean()).map(parsed -> 1));
        String text = new String(body, UTF_8);
        assertNotRun(ServicePath.of("/" + text).map(path -> 1));
        assertNotRun(
                requests.modelRequest(RequestId.of("r-1"), CALLER, text, null).map(request -> 1));
        assertNotRun(requests.modelRequest(RequestId.of("r-1"), CALLER, "quote", text)
                .map(request -> 1));
    }

    private static void assertNotRun(Either<Failure, Integer> read) {
        read.peekLeft(failure -> assertThat(failure.code().execution()).isEqualTo(Execution.NOT_RUN));
    }

    private static byte[] mutate(byte[] seed, Random random) {
        byte[] bytes = Arrays.copyOf(seed, 1 + random.nextInt(seed.length));
        int changes = random.nextInt(8);
        for (int change = 0; change < changes; change++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        return bytes;
    }

    private static ConfigurationHolder holder() {
        ConfigurationHolder holder = new ConfigurationHolder();
        Configuration empty = Configuration.empty();
        holder.offer(new Configuration(
                1,
                "north",
                "plan",
                1,
                List.of(new OrganisationSpec(MILL, 1, 1)),
                List.of(),
                List.of(),
                List.of(),
                List.of(new ServiceSpec(
                        ORDERS,
                        List.of(
                                new OperationSpec("POST", "/stock", true),
                                new OperationSpec("POST", "/confirm", false)),
                        4,
                        List.of(MILL),
                        ServiceClass.of("interactive"))),
                empty.idle()));
        return holder;
    }
}

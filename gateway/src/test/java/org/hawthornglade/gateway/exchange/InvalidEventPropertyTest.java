package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.hawthornglade.core.stream.NumberedEventRule;
import org.hawthornglade.gateway.exchange.ReceivedStream.Piece;

/**
 * Any bytes, at any place of a stream, lead to no piece that a reader of the format can't place in its run.
 *
 * <p>Not told from what a run wrote: an event with a later number, a further data, type, retry or comment line, and
 * bytes inside a value or a comment. All texts have one character a byte.
 */
class InvalidEventPropertyTest {
    private static final Pattern NUMBER = Pattern.compile("[0-9]+");
    private static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");
    private static final Pattern LONE_CR = Pattern.compile("\r(?!\n)");
    private static final Pattern ID_LINE = Pattern.compile("(?s)id(:.*)?");
    /** All lines that a caller may get. */
    private static final Pattern KNOWN_LINE = Pattern.compile(
            "(?s)|:.*|data:.*|event:.*|id: ?[0-9]+|retry: ?[0-9]+|" + TestProtocol.WEIGHTS_FIELD + ": ?[0-9]+");

    /** What stands beside an event. */
    private enum Beside {
        NOTHING,
        COMMENT_BEFORE,
        COMMENT_INSIDE,
        RETRY_BEFORE,
        RETRY_INSIDE,
        WEIGHTS,
        TYPE,
        EMPTY_LINES
    }

    /** @param gap the difference between its number and the one before */
    private record Part(Beside beside, int gap, String blank, List<String> data) {
        List<String> lines(BigInteger id) {
            List<String> lines = new ArrayList<>();
            switch (beside) {
                case COMMENT_BEFORE -> lines.addAll(List.of(": id: 7", "", ":"));
                case RETRY_BEFORE -> lines.addAll(List.of("retry: 100", ""));
                case WEIGHTS -> lines.add(TestProtocol.WEIGHTS_FIELD + ":" + blank + "7");
                case EMPTY_LINES -> lines.addAll(List.of("", ""));
                default -> {}
            }
            lines.add("id:" + blank + id);
            switch (beside) {
                case COMMENT_INSIDE -> lines.add(":HTTP/1.1 200 OK");
                case RETRY_INSIDE -> lines.add("retry:" + blank + "5");
                case TYPE -> lines.add("event:" + blank + "word");
                default -> {}
            }
            data.forEach(value -> lines.add("data:" + blank + value));
            lines.add("");
            return lines;
        }
    }

    /**
     * A stream as a run writes it.
     *
     * @param ends the offsets of the ends of its events
     */
    private record Sound(String text, List<Integer> ends) {
        /** Writes events; the ends of their lines are taken from the list again and again. */
        static Sound of(int firstId, List<Part> parts, List<String> lineEnds) {
            StringBuilder text = new StringBuilder();
            List<Integer> ends = new ArrayList<>();
            BigInteger id = BigInteger.valueOf(firstId);
            int line = 0;
            for (Part part : parts) {
                for (String content : part.lines(id)) {
                    text.append(content).append(lineEnds.get(line++ % lineEnds.size()));
                }
                ends.add(text.length());
                id = id.add(BigInteger.valueOf(part.gap));
            }
            return new Sound(text.toString(), ends);
        }

        /** Returns the end of the last event that ends at the given offset or before it. */
        int endBefore(int offset) {
            return ends.stream().filter(end -> end <= offset).reduce(0, Math::max);
        }
    }

    /** A stream into which bytes were inserted. */
    private record Spoilt(Sound sound, int at, String inserted) {
        String text() {
            return sound.text.substring(0, at) + inserted + sound.text.substring(at);
        }
    }

    /** What a splitter returned and told. */
    private record Result(String returned, List<String> ids, String stop, int bufferedBytes) {}

    @Provide
    Arbitrary<Sound> sounds() {
        Arbitrary<String> data = Arbitraries.oneOf(
                Arbitraries.of(
                        "",
                        "word",
                        "id: 9",
                        " ",
                        ":",
                        "{\"a\": [1, 2]}",
                        "\0",
                        "\u00c3\u00a9",
                        "\u00ff",
                        "\u00c2\u0085"),
                Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(8));
        Arbitrary<Part> part = Combinators.combine(
                        Arbitraries.of(Beside.class),
                        Arbitraries.frequencyOf(
                                Tuple.of(9, Arbitraries.integers().between(1, 4)),
                                Tuple.of(1, Arbitraries.integers().greaterOrEqual(1))),
                        Arbitraries.of(" ", ""),
                        data.list().ofMinSize(1).ofMaxSize(3))
                .as(Part::new);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 12),
                        part.list().ofMaxSize(6),
                        Arbitraries.of("\n", "\r\n").list().ofMinSize(1).ofMaxSize(5))
                .as(Sound::of);
    }

    @Provide
    Arbitrary<Spoilt> spoilt() {
        return sounds().flatMap(sound -> Combinators.combine(
                        Arbitraries.integers().between(0, sound.text.length()), inserted(sound))
                .as((at, inserted) -> new Spoilt(sound, at, inserted)));
    }

    private static Arbitrary<String> inserted(Sound sound) {
        Arbitrary<String> bytes = Arbitraries.strings()
                .withCharRange('\0', '\u00ff')
                .ofMinLength(1)
                .ofMaxLength(6);
        Arbitrary<String> digits = Arbitraries.integers().between(0, 30).map(String::valueOf);
        Arbitrary<String> lineEnds = Arbitraries.of("\r", "\n", "\r\n", "\n\n", "\r\r", "\r\n\r\n", "\n\r");
        Arbitrary<String> names = Arbitraries.of(
                "id",
                "id:",
                "id: ",
                "data",
                "data:",
                "data: x",
                "event:",
                "retry:",
                "ID: ",
                TestProtocol.WEIGHTS_FIELD);
        Arbitrary<String> others = Arbitraries.of(
                ":", " ", "\0", "\u00ef\u00bb\u00bf", "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n", "-", "\t");
        Arbitrary<String> events = digits.map(id -> "id: " + id + "\ndata: y\n\n");
        Arbitrary<String> copies = Combinators.combine(
                        Arbitraries.integers().between(0, sound.text.length()),
                        Arbitraries.integers().between(0, sound.text.length()))
                .as((a, b) -> sound.text.substring(Math.min(a, b), Math.max(a, b)));
        return Arbitraries.oneOf(bytes, digits, lineEnds, lineEnds, names, names, others, events, copies)
                .list()
                .ofMinSize(1)
                .ofMaxSize(6)
                .map(fragments -> String.join("", fragments));
    }

    @Provide
    Arbitrary<List<Integer>> pieceBytes() {
        return Arbitraries.integers().between(1, 40).list().ofMinSize(1).ofMaxSize(6);
    }

    private static EventSplitter splitter(Optional<String> lastId) {
        return new EventSplitter(new NumberedEventRule(Set.of(TestProtocol.WEIGHTS_FIELD)), lastId);
    }

    /** Gives a text to a splitter in pieces; the lengths are taken from the list again and again. */
    private static Result split(EventSplitter splitter, String text, List<Integer> pieceBytes) {
        StringBuilder returned = new StringBuilder();
        List<String> ids = new ArrayList<>();
        Optional<String> last = splitter.lastId();
        int from = 0;
        for (int i = 0; from < text.length(); i++) {
            int to = Math.min(text.length(), from + pieceBytes.get(i % pieceBytes.size()));
            returned.append(add(splitter, text.substring(from, to)));
            from = to;
            if (!splitter.lastId().equals(last)) {
                last = splitter.lastId();
                last.ifPresent(ids::add);
            }
        }
        String stop = splitter.invalid() + " " + splitter.disorder();
        return new Result(returned.toString(), ids, stop, splitter.bufferedBytes());
    }

    private static String add(EventSplitter splitter, String piece) {
        ByteBuf events = splitter.add(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
        String text = events.toString(StandardCharsets.ISO_8859_1);
        events.release();
        return text;
    }

    private static Result splitByBytes(EventSplitter splitter, String text) {
        return split(splitter, text, List.of(1));
    }

    /** Checks what a caller got by its own reading and returns the ids of the pieces. */
    private static List<String> judge(String received) {
        ReceivedStream stream = ReceivedStream.read(received);
        assertThat(stream.unknownLines()).isEmpty();
        assertThat(LONE_CR.matcher(received).find()).isFalse();
        long idLines = 0;
        for (String line : LINE_END.split(received, -1)) {
            assertWithMessage("line <%s>", line)
                    .that(KNOWN_LINE.matcher(line).matches())
                    .isTrue();
            idLines += ID_LINE.matcher(line).matches() ? 1 : 0;
        }
        List<String> ids = stream.pieces().stream().map(Piece::id).toList();
        assertWithMessage("lines with ids").that(idLines).isEqualTo(ids.size());
        BigInteger last = BigInteger.ONE.negate();
        for (String id : ids) {
            assertWithMessage("id <%s>", id).that(NUMBER.matcher(id).matches()).isTrue();
            assertThat(new BigInteger(id)).isGreaterThan(last);
            last = new BigInteger(id);
        }
        return ids;
    }

    /** Pieces that no run wrote, without an id or with an empty one, reached callers of a stream (issue 48). */
    @Property(seed = "20261206", tries = 2_000)
    void whatIsReturnedIsASeriesOfNumberedEvents(@ForAll("spoilt") Spoilt spoilt) {
        Result result = splitByBytes(splitter(Optional.empty()), spoilt.text());
        assertThat(judge(result.returned)).isEqualTo(result.ids);
        assertThat(spoilt.text()).startsWith(result.returned);
        int before = spoilt.sound.endBefore(spoilt.at);
        assertWithMessage("bytes returned").that(result.returned.length()).isAtLeast(before);
    }

    @Property(seed = "20261207", tries = 1_000)
    void cutsChangeNothing(@ForAll("spoilt") Spoilt spoilt, @ForAll("pieceBytes") List<Integer> pieceBytes) {
        Result byBytes = splitByBytes(splitter(Optional.empty()), spoilt.text());
        Result inPieces = split(splitter(Optional.empty()), spoilt.text(), pieceBytes);
        assertThat(inPieces.returned).isEqualTo(byBytes.returned);
        assertThat(inPieces.stop).isEqualTo(byBytes.stop);
        assertThat(inPieces.bufferedBytes).isEqualTo(byBytes.bufferedBytes);
    }

    @Property(seed = "20261208", tries = 1_000)
    void soundStreamArrivesByteForByte(@ForAll("sounds") Sound sound, @ForAll("pieceBytes") List<Integer> pieceBytes) {
        Result result = split(splitter(Optional.empty()), sound.text, pieceBytes);
        assertThat(result.returned).isEqualTo(sound.text);
        assertThat(result.bufferedBytes).isEqualTo(0);
        assertThat(judge(result.returned)).hasSize(sound.ends.size());
    }

    /** The first run may end between CR and LF, and the next one begin with any bytes. */
    @Property(seed = "20261209", tries = 2_000)
    void runsReadAsOneStreamByBothReaders(
            @ForAll("spoilt") Spoilt first, @ForAll("cutPercent") int cutPercent, @ForAll("spoilt") Spoilt second) {
        String text = first.text();
        Result begun = splitByBytes(splitter(Optional.empty()), text.substring(0, text.length() * cutPercent / 100));
        Optional<String> last = begun.ids.stream().reduce((a, b) -> b);
        Result resumed = splitByBytes(splitter(last), second.text());
        List<String> reported = new ArrayList<>(begun.ids);
        reported.addAll(resumed.ids);
        assertThat(judge(begun.returned + resumed.returned)).isEqualTo(reported);
    }

    /** A stream that was cut anywhere goes on after its last event, without a piece lost or changed. */
    @Property(seed = "20261210", tries = 1_000)
    void resumedStreamHasAllPieces(
            @ForAll("sounds") Sound sound, @ForAll("cutPercent") int cutPercent, @ForAll("starts") String start) {
        int cut = sound.text.length() * cutPercent / 100;
        Result begun = splitByBytes(splitter(Optional.empty()), sound.text.substring(0, cut));
        Optional<String> last = begun.ids.stream().reduce((a, b) -> b);
        int passedOn = begun.ids.isEmpty() ? 0 : sound.ends.get(begun.ids.size() - 1);
        Result resumed = splitByBytes(splitter(last), start + sound.text.substring(passedOn));
        String received = begun.returned + resumed.returned;
        assertThat(ReceivedStream.read(received).pieces())
                .isEqualTo(ReceivedStream.read(sound.text).pieces());
    }

    @Provide
    Arbitrary<Integer> cutPercent() {
        return Arbitraries.integers().between(0, 100);
    }

    @Provide
    Arbitrary<String> starts() {
        return Arbitraries.of("", "\n", "\r\n", ":\n", "retry: 5\n\n");
    }
}

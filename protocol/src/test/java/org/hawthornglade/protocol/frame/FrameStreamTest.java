package org.hawthornglade.protocol.frame;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.protocol.gen.FrameKind;
import org.junit.jupiter.api.Test;

final class FrameStreamTest {
    private static final AttemptId ATTEMPT = AttemptId.of("r-1.1");

    @Test
    void readsBackACompleteAnswer() throws IOException {
        FrameReader reader = new FrameReader(ATTEMPT, new ByteArrayInputStream(answer(ATTEMPT, "one", "two")));
        assertThat(reader.next().getKind()).isEqualTo(FrameKind.HEAD);
        assertThat(new String(reader.next().getData(), UTF_8)).isEqualTo("one");
        assertThat(new String(reader.next().getData(), UTF_8)).isEqualTo("two");
        assertThat(reader.next().getOffset()).isEqualTo(6);
        assertThrows(MalformedFrameException.class, reader::next);
    }

    @Test
    void rejectsFramesOfAnotherAttempt() throws IOException {
        FrameReader reader = new FrameReader(ATTEMPT, new ByteArrayInputStream(answer(AttemptId.of("r-2.1"), "one")));
        assertThrows(MalformedFrameException.class, reader::next);
    }

    @Test
    void rejectsEveryTruncatedAnswer() throws IOException {
        byte[] complete = answer(ATTEMPT, "one", "two");
        for (int length = 0; length < complete.length; length++) {
            FrameReader reader = new FrameReader(ATTEMPT, new ByteArrayInputStream(Arrays.copyOf(complete, length)));
            assertThrows(IOException.class, () -> readToEnd(reader));
        }
    }

    @Test
    void rejectsMissingAndRepeatedFrames() throws IOException {
        byte[] one = answer(ATTEMPT, "one");
        ByteArrayOutputStream twice = new ByteArrayOutputStream();
        byte[] three = answer(ATTEMPT, "one", "two", "three");
        byte[] two = answer(ATTEMPT, "one", "two");
        twice.write(one, 0, one.length - tailLength(ATTEMPT, 3));
        twice.write(three, two.length - tailLength(ATTEMPT, 6), three.length - two.length + tailLength(ATTEMPT, 6));
        FrameReader reader = new FrameReader(ATTEMPT, new ByteArrayInputStream(twice.toByteArray()));
        assertThrows(MalformedFrameException.class, () -> readToEnd(reader));
    }

    private static int tailLength(AttemptId attempt, int offset) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        FrameWriter writer = new FrameWriter(attempt, head);
        writer.head(200, List.of());
        writer.data(new byte[offset], 0, offset);
        int before = head.size();
        writer.end();
        return head.size() - before;
    }

    private static void readToEnd(FrameReader reader) throws IOException {
        FrameKind kind = null;
        while (kind != FrameKind.COMPLETE) {
            kind = reader.next().getKind();
        }
    }

    private static byte[] answer(AttemptId attempt, String... parts) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        FrameWriter writer = new FrameWriter(attempt, out);
        writer.head(200, List.of());
        for (String part : parts) {
            byte[] bytes = part.getBytes(UTF_8);
            writer.data(bytes, 0, bytes.length);
        }
        writer.end();
        return out.toByteArray();
    }
}

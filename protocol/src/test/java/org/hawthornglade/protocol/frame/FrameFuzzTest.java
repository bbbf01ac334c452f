package org.hawthornglade.protocol.frame;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;
import org.hawthornglade.protocol.gen.Header;

/** Feeds corrupted answers to the reader, which may fail only with an {@link IOException}. */
final class FrameFuzzTest {
    private static final AttemptId ATTEMPT = AttemptId.of("r-1.1");

    @Property(seed = "1969", tries = 3_000)
    void aCorruptedAnswerIsDecodedOrRejected(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        byte[] bytes = answer();
        int changes = 1 + random.nextInt(6);
        for (int change = 0; change < changes; change++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        FrameReader reader = new FrameReader(ATTEMPT, new ByteArrayInputStream(bytes));
        try {
            Frame frame = reader.next();
            while (frame.getKind() != FrameKind.COMPLETE && frame.getKind() != FrameKind.FAILED) {
                frame = reader.next();
            }
        } catch (IOException e) {
            return;
        }
    }

    private static byte[] answer() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FrameWriter writer = new FrameWriter(ATTEMPT, bytes);
        writer.head(200, List.of(new Header("Content-Type", "text/plain")));
        writer.data(new byte[40], 0, 40);
        writer.keepAlive();
        writer.data(new byte[7], 0, 7);
        writer.end();
        return bytes.toByteArray();
    }
}

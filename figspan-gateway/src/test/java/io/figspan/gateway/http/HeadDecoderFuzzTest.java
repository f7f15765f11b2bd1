package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.http.ClientMemory.Kind;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a codec that reads other requests from the same bytes than Netty's own, and against lines that are not
 * counted, or not returned to the budget.
 */
class HeadDecoderFuzzTest {
    private static final int MESSAGES = 400;
    private static final int MAX_HEAD_BYTES = 2_048;
    private static final List<String> PIECES = List.of(
            "GET / HTTP/1.1\r\n",
            "POST /b HTTP/1.1\r\n",
            "a:\r\n",
            ":\r\n",
            "name: value\r\n",
            " continued\r\n",
            "\tcontinued\r\n",
            "name : x\r\n",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "\r\n",
            "\n",
            "\r",
            "abc",
            "3;ext=1\r\n",
            "0\r\n",
            "\0",
            "\u00e9: \u00ff\r\n",
            "x".repeat(700));

    private static String randomBytes(SplittableRandom random) {
        StringBuilder bytes = new StringBuilder("POST / HTTP/1.1\r\n");
        for (int count = random.nextInt(30); count > 0; count--) {
            bytes.append(PIECES.get(random.nextInt(PIECES.size())));
        }
        return bytes.append("\r\n").toString();
    }

    /** Feeds the bytes in parts of random lengths and describes what is decoded. */
    private static String decode(ChannelHandler codec, String text, SplittableRandom random) {
        EmbeddedChannel channel = new EmbeddedChannel(codec);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int start = 0; start < bytes.length; ) {
            int length = Math.min(bytes.length - start, random.nextInt(1, 100));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, start, length));
            start += length;
        }
        channel.finish();
        List<String> decoded = new ArrayList<>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            decoded.add(describe(message));
            ReferenceCountUtil.release(message);
        }
        return String.join("\n", decoded);
    }

    private static String describe(Object message) {
        if (message instanceof HttpRequest request) {
            return request.method()
                    + request.uri()
                    + request.decoderResult().isFailure()
                    + request.headers().entries();
        }
        String trailers = message instanceof LastHttpContent last
                ? last.trailingHeaders().entries() + "" + last.decoderResult().isFailure()
                : "";
        return ((HttpContent) message).content().toString(StandardCharsets.ISO_8859_1) + trailers;
    }

    private static HttpDecoderConfig config() {
        return new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxInitialLineLength(MAX_HEAD_BYTES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void randomHeadsAreDecodedAsByNettysCodecAndReturnedToTheBudget(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ClientMemory memory = new ClientMemory(1_000_000);
        for (int number = 0; number < MESSAGES; number++) {
            String text = randomBytes(random);
            ClientMemory.Account account = memory.open(kind -> {});
            HttpHeadersFactory lines = new MeteredHeadersFactory(account, MAX_HEAD_BYTES);
            long partsSeed = random.nextLong();

            String expected = decode(new HttpServerCodec(config()), text, new SplittableRandom(partsSeed));
            String decoded = decode(
                    new PausableServerCodec(config().setHeadersFactory(lines).setTrailersFactory(lines)),
                    text,
                    new SplittableRandom(partsSeed));
            account.close();

            assertEquals(expected, decoded, () -> "seed " + seed + ": " + text);
            assertEquals(0, memory.usedBytes(Kind.ARRIVING_HEADS));
        }
        assertTrue(memory.evictions() == 0);
    }
}

package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.http.NaiveResponseParser.Whole;
import io.figspan.wire.http.ResponseSyntaxHandler;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares what is read behind the syntax check with a naive strict parser. Guards against a byte that the decoder
 * forgives, so that bytes that are no response pass, or a response is read in another way (issue 59).
 */
class ResponseSyntaxDifferentialTest {
    private static final int OCTETS = 256;
    private static final int RANDOM_CASES = 20_000;
    private static final String[] FRAGMENTS = {
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.0 200\r\n",
        "HTTP/1.1 100 \r\n\r\n",
        "HTTP/1.1 204 x\r\n",
        "HTTP/1.1 304 x\r\n",
        "HTTP/1.1 205 x\r\n",
        "content-length: 3\r\n",
        "Content-Length: 3, 3\r\n",
        "content-length: 0\r\n",
        "transfer-encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
        "x-a: b\r\n",
        "x-a:\r\n",
        " x: y\r\n",
        "\r\n",
        "\r\n",
        "abc",
        "3\r\nabc\r\n",
        "3;x=y\r\nabc\r\n",
        "0\r\n",
        "\n",
        "\r",
        " ",
        "\t",
        ":",
        ",",
        "\u0000",
        "\u00e9",
    };

    /** What the decoder delivers, as text. */
    private static final class Sink extends ChannelInboundHandlerAdapter {
        private int status;
        private HttpHeaders headers;
        private final StringBuilder body = new StringBuilder();
        private boolean isWhole;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!isWhole && ((HttpObject) message).decoderResult().isSuccess()) {
                take((HttpObject) message);
            }
            ReferenceCountUtil.release(message);
        }

        private void take(HttpObject message) {
            if (message instanceof HttpResponse head && head.status().code() >= 200) {
                status = head.status().code();
                headers = head.headers();
            }
            if (message instanceof HttpContent content && headers != null) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                isWhole = message instanceof LastHttpContent;
            }
        }

        /** A violation ends the response, so that the rest of the bytes is not read. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Channels.close(ctx.channel());
        }
    }

    private static Sink decode(String bytes, int readBytes) {
        Sink sink = new Sink();
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseSyntaxHandler(), new ResponseDecoder(), sink);
        for (int start = 0; start < bytes.length() && channel.isOpen(); start += readBytes) {
            String part = bytes.substring(start, Math.min(bytes.length(), start + readBytes));
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
        channel.finishAndReleaseAll();
        return sink;
    }

    private static void assertSameReading(String bytes, int readBytes) {
        Optional<Whole> expected = NaiveResponseParser.parse(bytes);
        Sink actual = decode(bytes, readBytes);
        String context = "in reads of " + readBytes + ": " + escaped(bytes);
        assertEquals(expected.isPresent(), actual.isWhole, context);
        if (expected.isPresent()) {
            assertEquals(expected.get().status(), actual.status, context);
            assertEquals(expected.get().body(), actual.body.toString(), context);
            assertEquals(otherFields(expected.get()), otherFields(actual.headers), context);
        }
    }

    /** Without the framing, which the decoder normalises. */
    private static List<String> otherFields(Whole whole) {
        return whole.fields().stream()
                .map(line -> line.substring(0, line.indexOf(':')) + "="
                        + line.substring(line.indexOf(':') + 1).replaceAll("^[ \\t]+|[ \\t]+\\z", ""))
                .filter(field -> !isFraming(field))
                .toList();
    }

    private static List<String> otherFields(HttpHeaders headers) {
        return headers.entries().stream()
                .map(field -> field.getKey() + "=" + field.getValue())
                .filter(field -> !isFraming(field))
                .toList();
    }

    private static boolean isFraming(String field) {
        return field.matches("(?i)(content-length|transfer-encoding)=.*");
    }

    private static String escaped(String bytes) {
        return bytes.chars()
                .mapToObj(octet -> octet >= ' ' && octet < 0x7F ? Character.toString(octet) : "<" + octet + ">")
                .collect(Collectors.joining());
    }

    /** At each place, each octet instead of the one there, and before it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|ab: c d|content-length: 3||xyz",
                "HTTP/1.1 200 OK|transfer-encoding: chunked||3;e=\"q\"|xyz|0|t: u||",
                "HTTP/1.1 103 x|l: m||HTTP/1.1 204 x|a: b||",
                "HTTP/1.0 200 x|c:||xyz",
            })
    void eachOctetAtEachPlaceHasTheReadingOfTheGrammar(String template) {
        String response = template.replace("|", "\r\n");
        for (int place = 0; place < response.length(); place++) {
            for (int octet = 0; octet < OCTETS; octet++) {
                String before = response.substring(0, place) + (char) octet;
                assertSameReading(before + response.substring(place + 1), Integer.MAX_VALUE / 2);
                assertSameReading(before + response.substring(place), Integer.MAX_VALUE / 2);
            }
        }
    }

    @Test
    void randomSequencesOfFragmentsHaveTheReadingOfTheGrammar() {
        Random random = new Random(59);
        int whole = 0;
        for (int number = 0; number < RANDOM_CASES; number++) {
            String bytes = FRAGMENTS[random.nextInt(4)]
                    + IntStream.range(0, random.nextInt(8))
                            .mapToObj(index -> FRAGMENTS[random.nextInt(FRAGMENTS.length)])
                            .collect(Collectors.joining());
            assertSameReading(bytes, 1 + random.nextInt(bytes.length()));
            whole += NaiveResponseParser.parse(bytes).isPresent() ? 1 : 0;
        }
        assertTrue(whole > RANDOM_CASES / 50, "whole responses: " + whole);
    }

    @Test
    void theReadingDoesNotDependOnWhereReadsEnd() {
        List<String> responses = new ArrayList<>(List.of(
                "HTTP/1.1 100 x||HTTP/1.1 200 OK|content-length: 3||xyz",
                "HTTP/1.1 200 OK|transfer-encoding: chunked||3|xyz|a;b=c|0123456789|0|t: u||",
                "HTTP/1.1 200 OK|transfer-encoding: chunked||3|xyzab|0||",
                "HTTP/1.1 200 OK|transfer-encoding: chunked||3|xyz|0 ||",
                "HTTP/1.1 200 OK|content length: 3||xyz"));
        for (String template : responses) {
            String response = template.replace("|", "\r\n");
            for (int readBytes = 1; readBytes <= response.length(); readBytes++) {
                assertSameReading(response, readBytes);
            }
        }
    }
}

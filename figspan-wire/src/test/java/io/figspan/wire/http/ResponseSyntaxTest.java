package io.figspan.wire.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a verdict that operators can't use, or that a later read takes back. */
class ResponseSyntaxTest {
    private final ResponseSyntax syntax = new ResponseSyntax();

    private ResponseVerdict read(String bytes) {
        return syntax.read(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void aVerdictNamesTheRuleAndTheLine() {
        ResponseVerdict verdict = read("HTTP/1.1 000 OK\r\n");
        assertEquals(
                "invalid status line: the status must be from 100 to 599: \"HTTP/1.1 000 OK\"", verdict.toString());
    }

    @Test
    void theLineIsEscapedAndBounded() {
        ResponseVerdict verdict = read("HTTP/1.1 200 OK\r\nx\u0000\"\u00e9" + "y".repeat(1_000) + "\r\n");
        String excerpt =
                assertInstanceOf(ResponseVerdict.Invalid.class, verdict).excerpt();
        assertEquals("x\\x00\\x22\\xe9" + "y".repeat(60) + "...", excerpt);
    }

    @Test
    void aLineWithoutEndIsInvalidWithinABound() {
        ResponseVerdict verdict = read("HTTP/1.1 200 OK\r\nx: " + "y".repeat(8_192));
        assertInstanceOf(ResponseVerdict.Invalid.class, verdict);
    }

    @Test
    void invalidBytesStayInvalidWhateverFollows() {
        ResponseVerdict first = read("HTTP/1.1 000 OK\r\n");
        syntax.expectResponse(false);
        assertEquals(first, read("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"));
    }

    @Test
    void responsesThatFollowEachOtherAreReadOneByOne() {
        ByteBuffer two = ByteBuffer.wrap("HTTP/1.1 204 x\r\n\r\nHTTP/1.1 200 x\r\ncontent-length: 1\r\n\r\ny"
                .getBytes(StandardCharsets.ISO_8859_1));
        assertInstanceOf(ResponseVerdict.Complete.class, syntax.read(two));
        assertTrue(two.hasRemaining());
        assertInstanceOf(ResponseVerdict.Complete.class, syntax.read(two));
        assertEquals(0, two.remaining());
    }

    @Test
    void theResponseToAHeadRequestEndsWithItsHead() {
        syntax.expectResponse(true);
        assertInstanceOf(ResponseVerdict.Complete.class, read("HTTP/1.1 200 x\r\ncontent-length: 5\r\n\r\n"));
    }
}

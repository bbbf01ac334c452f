package org.hawthornglade.gateway.exchange;

/** A response as a caller received it until the end of its connection. */
record ReceivedResponse(int status, String stamp, String body, boolean complete) {
    /** Reads a response; one without a complete head has the status 0. */
    static ReceivedResponse parse(String text, String method) {
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0 || !text.startsWith("HTTP/1.1 ")) {
            return new ReceivedResponse(0, "", text, false);
        }
        String head = text.substring(0, headEnd);
        int status = Integer.parseInt(head.substring(9, 12));
        String stamp = ScriptedEndpoint.header(head, "X-Signature");
        String rest = text.substring(headEnd + 4);
        if (method.equals("HEAD") || status == 204) {
            return new ReceivedResponse(status, stamp, rest, true);
        }
        if (ScriptedEndpoint.header(head, "transfer-encoding").equals("chunked")) {
            return chunked(status, stamp, rest);
        }
        String length = ScriptedEndpoint.header(head, "content-length");
        boolean complete = length.isEmpty() || rest.length() >= Integer.parseInt(length);
        return new ReceivedResponse(status, stamp, rest, complete);
    }

    private static ReceivedResponse chunked(int status, String stamp, String rest) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = rest.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return new ReceivedResponse(status, stamp, body.toString(), false);
            }
            int bytes = Integer.parseInt(rest.substring(at, lineEnd), 16);
            int end = lineEnd + 2 + bytes;
            if (bytes == 0) {
                // Bytes after the last chunk belong to no response; as part of the body they are judged a fault.
                body.append(rest.substring(Math.min(rest.length(), end + 2)));
                return new ReceivedResponse(status, stamp, body.toString(), rest.length() >= end + 2);
            }
            body.append(rest, lineEnd + 2, Math.min(end, rest.length()));
            if (rest.length() < end + 2) {
                return new ReceivedResponse(status, stamp, body.toString(), false);
            }
            at = end + 2;
        }
    }
}

package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** The messages that a front end sends. */
final class RpcEncoder {
  private static final int REQUEST = 0;
  private static final int RESPONSE = 1;

  /** Packs one message. */
  private interface Packing {
    void into(MessageBufferPacker out) throws IOException;
  }

  private RpcEncoder() {}

  static Buffer served(long id, Buffer body) {
    return response(
        id,
        out -> {
          out.packNil().packArrayHeader(2).packBinaryHeader(body.length());
          out.writePayload(body.getBytes());
          out.packMapHeader(0);
        });
  }

  static Buffer refused(long id, long backoffMillis) {
    return response(
        id,
        out -> {
          out.packArrayHeader(2)
              .packString("Shed")
              .packMapHeader(1)
              .packString("backoff")
              .packString(Long.toString(backoffMillis));
          out.packNil();
        });
  }

  static Buffer failed(long id, String word, String why) {
    return response(
        id,
        out -> {
          out.packArrayHeader(2)
              .packString(word)
              .packMapHeader(1)
              .packString("why")
              .packString(why);
          out.packNil();
        });
  }

  static Buffer heartbeat(long id, boolean fit) {
    return response(id, out -> out.packNil().packArrayHeader(2).packBoolean(fit).packMapHeader(0));
  }

  static Buffer request(long id, String method, Map<String, String> fields, Buffer body) {
    return message(
        REQUEST,
        id,
        out -> {
          out.packString(method).packArrayHeader(2).packMapHeader(fields.size());
          for (Map.Entry<String, String> field : fields.entrySet()) {
            out.packString(field.getKey()).packString(field.getValue());
          }
          out.packBinaryHeader(body.length()).writePayload(body.getBytes());
        });
  }

  private static Buffer response(long id, Packing rest) {
    return message(RESPONSE, id, rest);
  }

  private static Buffer message(int type, long id, Packing rest) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(4).packInt(type).packLong(id);
      rest.into(out);
      return Buffer.buffer(out.toByteArray());
    } catch (IOException e) { // a packer in memory does not fail
      throw new UncheckedIOException(e);
    }
  }
}

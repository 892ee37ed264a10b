package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes the MessagePack-RPC messages that a front end sends. */
final class RpcEncoder {
  private static final int REQUEST = 0;
  private static final int RESPONSE = 1;

  /** The initial size of the buffer for a message; most messages are short. */
  private static final int BUFFER_BYTES = 256;

  /** Writes part of a message. */
  private interface Writer {
    void writeTo(MessageBufferPacker out) throws IOException;
  }

  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private RpcEncoder() {}

  /** The response to a call that a worker served. */
  static Buffer served(long id, Buffer body) {
    return response(
        id,
        out -> {
          out.packNil().packArrayHeader(2).packBinaryHeader(body.length());
          out.writePayload(body.getBytes());
          out.packMapHeader(0);
        });
  }

  /** The response to a call that was not run; the client may retry after the backoff. */
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

  /**
   * The response to a call that failed.
   *
   * @param code error code that clients distinguish
   * @param why detail for people
   */
  static Buffer failed(long id, String code, String why) {
    return response(
        id,
        out -> {
          out.packArrayHeader(2)
              .packString(code)
              .packMapHeader(1)
              .packString("why")
              .packString(why);
          out.packNil();
        });
  }

  /** The response to a heartbeat. */
  static Buffer heartbeat(long id, boolean healthy) {
    return response(
        id, out -> out.packNil().packArrayHeader(2).packBoolean(healthy).packMapHeader(0));
  }

  /** A request, as clients send it; used for warming up. */
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

  private static Buffer response(long id, Writer rest) {
    return message(RESPONSE, id, rest);
  }

  private static Buffer message(int type, long id, Writer rest) {
    try (MessageBufferPacker out = PACKER.newBufferPacker()) {
      out.packArrayHeader(4).packInt(type).packLong(id);
      rest.writeTo(out);
      return Buffer.buffer(out.toByteArray());
    } catch (IOException e) {
      // Cannot happen: the packer writes to memory.
      throw new UncheckedIOException(e);
    }
  }
}

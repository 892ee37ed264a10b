package umberrun.front.rpc;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import umberrun.front.CallFields;

/**
 * Cuts a client's stream into messages, whatever pieces it comes in. Holds one message's head and
 * body at most.
 */
final class RpcDecoder {
  private static final int REQUEST = 0;
  private static final int NOTIFICATION = 2;
  private static final int MOST_HEAD = 16 << 10;
  private static final int MOST_STRING = 4 << 10;
  private static final int MOST_FIELDS = 64;
  private static final int MOST_PARAMETERS = 64;

  /** A stream that can't be read any further. */
  static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    Unreadable(String message) {
      super(message, null, false, false);
    }
  }

  private final Consumer<RpcMessage> messages;
  private Buffer rest = Buffer.buffer();

  /** Bytes without which another try to read is in vain. */
  private int needed;

  /** Bytes of a body that is too long, still to be passed over. */
  private long skip;

  RpcDecoder(Consumer<RpcMessage> messages) {
    this.messages = messages;
  }

  /** Takes the next piece. */
  void feed(Buffer piece) throws Unreadable {
    if (skip > 0 && piece.length() <= skip) {
      skip -= piece.length();
      return;
    }
    byte[] all = (rest.length() == 0 ? piece : rest.appendBuffer(piece)).getBytes();
    int at = (int) skip;
    skip = 0;
    while (at < all.length && all.length - at >= needed) {
      int used = next(all, at);
      if (used == 0) {
        break;
      }
      at += used;
      if (at > all.length) {
        skip = at - all.length;
        at = all.length;
      }
    }
    rest = Buffer.buffer(Arrays.copyOfRange(all, at, all.length));
    if (rest.length()
        > MOST_HEAD
            + CallFields.MAX_BODY_BYTES) { // guards the memory against a head without an end
      throw new Unreadable("message too long");
    }
  }

  /** Whether a message has begun whose end has not come. */
  boolean isMidway() {
    return skip > 0 || rest.length() > 0;
  }

  /**
   * Reads the message at {@code at}; its length, which may lie beyond what is here, or 0 for one
   * not whole.
   */
  private int next(byte[] all, int at) throws Unreadable {
    needed = 0;
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(all, at, all.length - at)) {
      int size = in.unpackArrayHeader();
      int type = in.unpackInt();
      if (type == REQUEST && size == 4) {
        return request(in, all.length - at);
      } else if (type == NOTIFICATION && size == 3) {
        messages.accept(notification(in));
        return (int) in.getTotalReadBytes();
      }
      throw new Unreadable("neither a request nor a notification");
    } catch (MessageInsufficientBufferException e) {
      return 0;
    } catch (MessagePackException | IOException e) {
      throw new Unreadable(e.toString());
    }
  }

  private int request(MessageUnpacker in, int available) throws IOException, Unreadable {
    long id = in.unpackLong();
    String method = string(in);
    if (in.getNextFormat().getValueType() != ValueType.ARRAY) {
      throw new Unreadable("parameters are no array");
    }
    int parameters = in.unpackArrayHeader();
    if (parameters < 0 || parameters > MOST_PARAMETERS) {
      throw new Unreadable("too many parameters");
    }
    Map<String, String> fields = parameters > 0 ? fields(in) : null;
    Buffer body = Buffer.buffer();
    for (int i = 1; i < parameters; i++) {
      ValueType type = in.getNextFormat().getValueType();
      if (i > 1 || type != ValueType.BINARY && type != ValueType.STRING) {
        in.skipValue();
        fields = null;
        continue;
      }
      int length = type == ValueType.BINARY ? in.unpackBinaryHeader() : in.unpackRawStringHeader();
      int from = (int) in.getTotalReadBytes();
      if (length < 0) {
        throw new Unreadable("body too long");
      }
      if (length
          > CallFields.MAX_BODY_BYTES) { // answered at once, and passed over without being kept
        if (parameters > 2 || length > Integer.MAX_VALUE - from) {
          throw new Unreadable("body too long");
        }
        messages.accept(new RpcMessage.Request(id, method, fields, null));
        return from + length;
      }
      if (available - from < length) {
        needed = from + length;
        return 0;
      }
      body = Buffer.buffer(in.readPayload(length));
    }
    messages.accept(new RpcMessage.Request(id, method, fields, body));
    return (int) in.getTotalReadBytes();
  }

  private static RpcMessage notification(MessageUnpacker in) throws IOException, Unreadable {
    String method = string(in);
    List<Long> ids = new ArrayList<>();
    int n = in.unpackArrayHeader();
    for (int i = 0; i < n; i++) {
      if (in.getNextFormat().getValueType() == ValueType.INTEGER) {
        ids.add(in.unpackLong());
      } else {
        in.skipValue();
      }
    }
    return new RpcMessage.Notification(method, ids);
  }

  /**
   * A map of strings to strings; null where it is another thing. Values of other types are passed
   * over.
   */
  private static Map<String, String> fields(MessageUnpacker in) throws IOException, Unreadable {
    if (in.getNextFormat().getValueType() != ValueType.MAP) {
      in.skipValue();
      return null;
    }
    int n = in.unpackMapHeader();
    if (n < 0 || n > MOST_FIELDS) {
      throw new Unreadable("too many fields");
    }
    Map<String, String> fields = new HashMap<>();
    for (int i = 0; i < n; i++) {
      String name = in.getNextFormat().getValueType() == ValueType.STRING ? string(in) : null;
      if (name == null) {
        in.skipValue();
      }
      if (name != null && in.getNextFormat().getValueType() == ValueType.STRING) {
        fields.put(name, string(in));
      } else {
        in.skipValue();
      }
    }
    return fields;
  }

  /** Guards against a length that would be allocated before a byte of it has come. */
  private static String string(MessageUnpacker in) throws IOException, Unreadable {
    int length = in.unpackRawStringHeader();
    if (length < 0 || length > MOST_STRING) {
      throw new Unreadable("string too long");
    }
    return new String(in.readPayload(length), StandardCharsets.ISO_8859_1);
  }
}

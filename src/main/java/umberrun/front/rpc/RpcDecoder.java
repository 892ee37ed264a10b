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
 * Splits a client's byte stream into MessagePack-RPC messages, however it is fragmented. Buffers at
 * most the header and body of one message.
 */
final class RpcDecoder {
  private static final int REQUEST = 0;
  private static final int NOTIFICATION = 2;
  private static final int MAX_HEADER_BYTES = 16 << 10;
  private static final int MAX_STRING_BYTES = 4 << 10;
  private static final int MAX_FIELDS = 64;
  private static final int MAX_PARAMETERS = 64;

  /** Thrown when the stream is malformed and cannot be read any further. */
  static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    Unreadable(String message) {
      super(message, null, false, false);
    }
  }

  private final Consumer<RpcMessage> messages;

  /** Received bytes of an incomplete message. */
  private Buffer pending = Buffer.buffer();

  /** Number of bytes needed before another attempt to read the pending message makes sense. */
  private int needed;

  /** Bytes of an oversized body that are still to be discarded. */
  private long bytesToSkip;

  /** Creates a decoder that passes each decoded message to a consumer. */
  RpcDecoder(Consumer<RpcMessage> messages) {
    this.messages = messages;
  }

  /** Processes the next bytes of the stream. */
  void feed(Buffer chunk) throws Unreadable {
    if (bytesToSkip > 0 && chunk.length() <= bytesToSkip) {
      bytesToSkip -= chunk.length();
      return;
    }
    byte[] bytes = (pending.length() == 0 ? chunk : pending.appendBuffer(chunk)).getBytes();
    int position = (int) bytesToSkip;
    bytesToSkip = 0;
    while (position < bytes.length && bytes.length - position >= needed) {
      int used = decodeMessage(bytes, position);
      if (used == 0) {
        break;
      }
      position += used;
      if (position > bytes.length) {
        bytesToSkip = position - bytes.length;
        position = bytes.length;
      }
    }
    pending = Buffer.buffer(Arrays.copyOfRange(bytes, position, bytes.length));
    // Bounds the memory for a message header without an end.
    if (pending.length() > MAX_HEADER_BYTES + CallFields.MAX_BODY_BYTES) {
      throw new Unreadable("message too long");
    }
  }

  /** Whether part of a message has been received, but not all of it. */
  boolean isMidMessage() {
    return bytesToSkip > 0 || pending.length() > 0;
  }

  /**
   * Decodes the message at a position.
   *
   * @return the length of the message, or 0 if it is incomplete; the length may exceed the received
   *     bytes if the rest is to be discarded
   */
  private int decodeMessage(byte[] bytes, int position) throws Unreadable {
    needed = 0;
    try (MessageUnpacker in =
        MessagePack.newDefaultUnpacker(bytes, position, bytes.length - position)) {
      int size = in.unpackArrayHeader();
      int type = in.unpackInt();
      if (type == REQUEST && size == 4) {
        return decodeRequest(in, bytes.length - position);
      } else if (type == NOTIFICATION && size == 3) {
        messages.accept(decodeNotification(in));
        return (int) in.getTotalReadBytes();
      }
      throw new Unreadable("neither a request nor a notification");
    } catch (MessageInsufficientBufferException e) {
      return 0;
    } catch (MessagePackException | IOException e) {
      throw new Unreadable(e.toString());
    }
  }

  /**
   * Decodes a request after its type.
   *
   * @param available received bytes from the start of the message
   * @return as {@link #decodeMessage}
   */
  private int decodeRequest(MessageUnpacker in, int available) throws IOException, Unreadable {
    long id = in.unpackLong();
    String method = decodeString(in);
    if (in.getNextFormat().getValueType() != ValueType.ARRAY) {
      throw new Unreadable("parameters are no array");
    }
    int parameters = in.unpackArrayHeader();
    if (parameters < 0 || parameters > MAX_PARAMETERS) {
      throw new Unreadable("too many parameters");
    }
    Map<String, String> fields = parameters > 0 ? decodeFields(in) : null;
    Buffer body = Buffer.buffer();
    for (int i = 1; i < parameters; i++) {
      ValueType type = in.getNextFormat().getValueType();
      if (i > 1 || type != ValueType.BINARY && type != ValueType.STRING) {
        in.skipValue();
        fields = null;
        continue;
      }
      int length = type == ValueType.BINARY ? in.unpackBinaryHeader() : in.unpackRawStringHeader();
      int bodyStart = (int) in.getTotalReadBytes();
      if (length < 0) {
        throw new Unreadable("body too long");
      }
      if (length > CallFields.MAX_BODY_BYTES) {
        // The request is answered at once; its body is discarded without being buffered.
        if (parameters > 2 || length > Integer.MAX_VALUE - bodyStart) {
          throw new Unreadable("body too long");
        }
        messages.accept(new RpcMessage.Request(id, method, fields, null));
        return bodyStart + length;
      }
      if (available - bodyStart < length) {
        needed = bodyStart + length;
        return 0;
      }
      body = Buffer.buffer(in.readPayload(length));
    }
    messages.accept(new RpcMessage.Request(id, method, fields, body));
    return (int) in.getTotalReadBytes();
  }

  private static RpcMessage decodeNotification(MessageUnpacker in) throws IOException, Unreadable {
    String method = decodeString(in);
    List<Long> ids = new ArrayList<>();
    int parameters = in.unpackArrayHeader();
    for (int i = 0; i < parameters; i++) {
      if (in.getNextFormat().getValueType() == ValueType.INTEGER) {
        ids.add(in.unpackLong());
      } else {
        in.skipValue();
      }
    }
    return new RpcMessage.Notification(method, ids);
  }

  /**
   * Decodes a map of strings to strings; null if the value is not a map. Entries with a key or
   * value of another type are ignored.
   */
  private static Map<String, String> decodeFields(MessageUnpacker in)
      throws IOException, Unreadable {
    if (in.getNextFormat().getValueType() != ValueType.MAP) {
      in.skipValue();
      return null;
    }
    int size = in.unpackMapHeader();
    if (size < 0 || size > MAX_FIELDS) {
      throw new Unreadable("too many fields");
    }
    Map<String, String> fields = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String name = in.getNextFormat().getValueType() == ValueType.STRING ? decodeString(in) : null;
      if (name == null) {
        in.skipValue();
      }
      if (name != null && in.getNextFormat().getValueType() == ValueType.STRING) {
        fields.put(name, decodeString(in));
      } else {
        in.skipValue();
      }
    }
    return fields;
  }

  /**
   * Decodes a string. Its length is limited before it is read, since the buffer is allocated before
   * the bytes have arrived.
   */
  private static String decodeString(MessageUnpacker in) throws IOException, Unreadable {
    int length = in.unpackRawStringHeader();
    if (length < 0 || length > MAX_STRING_BYTES) {
      throw new Unreadable("string too long");
    }
    return new String(in.readPayload(length), StandardCharsets.ISO_8859_1);
  }
}

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
  private static final int MAX_BUFFER_BYTES = MAX_HEADER_BYTES + CallFields.MAX_BODY_BYTES;

  /** A buffer of which less than one part in this many is used is replaced by a smaller one. */
  private static final int MIN_USED_DIVISOR = 4;

  private static final byte[] NO_BYTES = {};

  /** Thrown when the stream is malformed and cannot be read any further. */
  static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    Unreadable(String message) {
      super(message, null, false, false);
    }
  }

  private final Consumer<RpcMessage> messages;

  /** Received bytes that are not decoded yet lie between {@code start} and {@code end}. */
  private byte[] buffer = NO_BYTES;

  private int start;
  private int end;

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
    int skipped = (int) Math.min(bytesToSkip, chunk.length());
    bytesToSkip -= skipped;
    append(chunk, skipped);
    while (start < end && end - start >= needed) {
      int used = decodeMessage(buffer, start, end);
      if (used == 0) {
        break;
      }
      bytesToSkip = Math.max(0, (long) used - (end - start));
      start = Math.min(end, start + used);
    }
    // Bounds the memory for a message header without an end.
    if (end - start > MAX_HEADER_BYTES + CallFields.MAX_BODY_BYTES) {
      throw new Unreadable("message too long");
    }
    if (start == end) {
      releaseBuffer();
    } else if (MIN_USED_DIVISOR * (end - start) < buffer.length) {
      compact();
    }
  }

  /** Moves the bytes that wait to a buffer of their size. */
  private void compact() {
    buffer = Arrays.copyOfRange(buffer, start, end);
    end -= start;
    start = 0;
  }

  /** Appends the bytes of a chunk from an offset on, after those that wait to be decoded. */
  private void append(Buffer chunk, int offset) {
    int added = chunk.length() - offset;
    int pending = end - start;
    if (end + added > buffer.length) {
      // A body whose length is known gets room at once, so that its chunks are not copied again.
      int capacity = Math.max(pending + added, Math.min(needed, MAX_BUFFER_BYTES));
      byte[] larger = new byte[Math.max(capacity, Math.min(2 * pending, MAX_BUFFER_BYTES))];
      System.arraycopy(buffer, start, larger, 0, pending);
      buffer = larger;
      start = 0;
      end = pending;
    }
    chunk.getBytes(offset, chunk.length(), buffer, end);
    end += added;
  }

  /** Whether part of a message has been received, but not all of it. */
  boolean isMidMessage() {
    return bytesToSkip > 0 || start < end;
  }

  /** The memory that the received part of a message takes, in bytes. */
  int bufferedBytes() {
    return buffer.length;
  }

  /** Gives up the received part of a message. */
  void releaseBuffer() {
    buffer = NO_BYTES;
    start = 0;
    end = 0;
    needed = 0;
  }

  /**
   * Decodes the message at a position.
   *
   * @param limit where the received bytes end
   * @return the length of the message, or 0 if it is incomplete; the length may exceed the received
   *     bytes if the rest is to be discarded
   */
  private int decodeMessage(byte[] bytes, int position, int limit) throws Unreadable {
    needed = 0;
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, position, limit - position)) {
      int size = in.unpackArrayHeader();
      int type = in.unpackInt();
      if (type == REQUEST && size == 4) {
        return decodeRequest(in, limit - position);
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
